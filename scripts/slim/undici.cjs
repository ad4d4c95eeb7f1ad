// The index of undici also loads fetch, web sockets, mocks and caches, and with them Node's own copy of undici.
const request = require("undici/lib/api/api-request.js");
const Client = require("undici/lib/dispatcher/client.js");
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const Pool = require("undici/lib/dispatcher/pool.js");

Object.assign(Dispatcher.prototype, { request });

module.exports = { Client, Pool };
