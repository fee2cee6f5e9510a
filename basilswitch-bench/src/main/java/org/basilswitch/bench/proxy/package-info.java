/** Requests through one entry host against a bare pass-through of the same shape. */
package org.basilswitch.bench.proxy;
