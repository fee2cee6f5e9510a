/** Benchmark of one entry host against a pass-through proxy that makes no decisions. */
package org.basilswitch.bench.proxy;
