/** An open-loop load of several teams through several entry hosts, with an account of each request. */
package org.basilswitch.bench.load;
