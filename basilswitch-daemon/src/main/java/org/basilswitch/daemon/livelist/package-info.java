/** The reader of the platform's lagging list of live and leaving hosts. */
package org.basilswitch.daemon.livelist;
