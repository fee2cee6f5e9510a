/** HTTP connections: silent ones of clients, and those of servers that shut down. */
package org.basilswitch.daemon.http;
