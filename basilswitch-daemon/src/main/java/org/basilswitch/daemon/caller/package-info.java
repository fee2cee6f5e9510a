/** HTTP server for callers: parses headers, streams bodies, sends responses and refusals. */
package org.basilswitch.daemon.caller;
