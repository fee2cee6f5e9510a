/** The entry host as a process: it gives the core's decisions their sockets, timers, metrics and logs. */
package org.basilswitch.daemon;
