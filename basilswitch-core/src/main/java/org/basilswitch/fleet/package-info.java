/**
 * Lifecycle of hosts: state transitions, moves between pools, sizing of the spare pool, and the pool controllers, which
 * can run on any entry host.
 *
 * <p>Every change of a host rewrites the guard record of its pool in the same transaction, so that the store serialises
 * the changes of one pool and an availability budget checked before a change still holds when the change commits.
 */
package org.basilswitch.fleet;
