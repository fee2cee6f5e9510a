/** The stand-in for the platform's key-value store. */
package org.basilswitch.standin.store;
