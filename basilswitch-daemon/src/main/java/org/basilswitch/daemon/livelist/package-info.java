/** Reader of the platform's list of live and leaving hosts, which lags behind the hosts' actual state. */
package org.basilswitch.daemon.livelist;
