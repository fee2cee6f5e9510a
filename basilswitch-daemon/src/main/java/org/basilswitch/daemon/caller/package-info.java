/** The callers' port: typed headers, streamed bodies, refusals. */
package org.basilswitch.daemon.caller;
