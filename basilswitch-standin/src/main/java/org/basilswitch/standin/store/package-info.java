/** The stand-in for the platform's key-value service. */
package org.basilswitch.standin.store;
