/** Small stand-ins for the platform's services, used by the demo, the tests and the benchmarks. */
package org.basilswitch.standin;
