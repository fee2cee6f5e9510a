/** Measures how long a withdrawn key is still accepted, with complete entry hosts on loopback. */
package org.basilswitch.bench.withdraw;
