/** Measures how long a withdrawn key is still taken, with real entry hosts over loopback. */
package org.basilswitch.bench.withdraw;
