// The index of prom-client also loads the default metrics, the push gateway with its HTTP clients, and cluster.
const Counter = require("prom-client/lib/counter.js");
const Gauge = require("prom-client/lib/gauge.js");
const Registry = require("prom-client/lib/registry.js");

module.exports = { Counter, Gauge, Registry };
