// The part of undici that the bundled programs use. Loading the whole package takes three times as
// much processor time at each start.
const buildConnector = require('undici/lib/core/connect.js');
const Client = require('undici/lib/dispatcher/client.js');
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const Pool = require('undici/lib/dispatcher/pool.js');
const request = require('undici/lib/api/api-request.js');

Dispatcher.prototype.request = request;
module.exports = { buildConnector, Client, Pool };
