/** The stand-in for the platform's lagging list of live and leaving hosts. */
package org.basilswitch.standin.hosts;
