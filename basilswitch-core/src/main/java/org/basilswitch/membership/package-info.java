/** Membership of the entry hosts: the members record and the peer leases that allow work while the store is down. */
package org.basilswitch.membership;
