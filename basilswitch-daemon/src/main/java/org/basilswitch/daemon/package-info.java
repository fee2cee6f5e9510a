/** The entry host process: connects the core's logic to sockets, timers, the store, metrics and logs. */
package org.basilswitch.daemon;
