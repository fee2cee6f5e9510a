/** Entry hosts: the members record, peer leases and the authority to act while the store is away. */
package org.basilswitch.membership;
