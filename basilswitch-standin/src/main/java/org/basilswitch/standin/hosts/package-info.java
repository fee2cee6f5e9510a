/** The stand-in for the platform's list of live and leaving hosts, which is published with a lag. */
package org.basilswitch.standin.hosts;
