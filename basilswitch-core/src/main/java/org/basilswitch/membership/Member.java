package org.basilswitch.membership;

import org.basilswitch.peer.MemberId;

/**
 * An entry host in the members record.
 *
 * @param id identifier of this incarnation of the process
 * @param name name of the host
 * @param peerAddress IP address and port on which the host accepts peer connections
 * @param zone availability zone
 */
public record Member(MemberId id, String name, String peerAddress, String zone) {}
