/** The platform's key-value service as an asynchronous interface with typed results. */
package org.basilswitch.store;
