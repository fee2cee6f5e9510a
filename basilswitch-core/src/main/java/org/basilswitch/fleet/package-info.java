/**
 * Hosts and pools: states, moves, the spare pool's buffer and the controllers that any entry host can hold.
 *
 * <p>Every change of a host rewrites the guard of its pool in the same transaction, so that changes of one pool are
 * serialised by the store and a budget counted before the change still holds when it commits.
 */
package org.basilswitch.fleet;
