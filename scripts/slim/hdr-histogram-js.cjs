// The index of hdr-histogram-js also loads the log's reader and writer, and the codecs.
const { build } = require("hdr-histogram-js/dist/HistogramBuilder.js");

module.exports = { build };
