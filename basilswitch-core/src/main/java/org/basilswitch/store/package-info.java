/** Asynchronous interface of the platform's key-value service, and an in-memory implementation for tests. */
package org.basilswitch.store;
