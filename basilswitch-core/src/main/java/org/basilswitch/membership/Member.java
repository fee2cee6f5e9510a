package org.basilswitch.membership;

import org.basilswitch.peer.MemberId;

/**
 * An entry host as the members record lists it.
 *
 * @param id identifier of this run of the process
 * @param name name of the host
 * @param peerAddress IP address and port of the peer port
 * @param zone availability zone
 */
public record Member(MemberId id, String name, String peerAddress, String zone) {}
