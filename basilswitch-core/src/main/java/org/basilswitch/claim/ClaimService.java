package org.basilswitch.claim;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.dispatch.RequestClaims;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.membership.Member;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerLink;
import org.basilswitch.peer.PeerMessage;
import org.basilswitch.peer.PeerMessage.ClaimRelease;
import org.basilswitch.peer.PeerMessage.ClaimReply;
import org.basilswitch.peer.PeerMessage.ClaimRequest;
import org.basilswitch.peer.PeerMessage.ClaimVerdict;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * Claims idempotency keys for one entry host: sends requests to the holders of the claim buckets, and serves the
 * buckets that the members record assigns to this host.
 */
public final class ClaimService implements RequestClaims, AutoCloseable {
    /** Bound on the commits per second of all buckets of a site together. */
    public static final int MAX_COMMITS_PER_SECOND = 200;

    private static final Duration COMMIT_INTERVAL =
            Duration.ofSeconds(1).multipliedBy(BucketAssignment.BUCKET_COUNT).dividedBy(MAX_COMMITS_PER_SECOND);
    private static final Duration RESEND_INTERVAL = Duration.ofMillis(250);
    /** Delay before a request is sent again after its receiver did not hold the bucket. */
    private static final Duration NOT_HOLDER_RETRY_DELAY = Duration.ofMillis(50);

    private static final int MAX_REMEMBERED_CLAIMS = 100_000;

    private final MemberId self;
    private final StoreKeys keys;
    private final PlatformStore store;
    private final Clock clock;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private final PeerLink link;
    private final Supplier<List<Member>> members;
    private final Telemetry telemetry;
    private final Map<Integer, ClaimBucket> heldBuckets = new HashMap<>();
    private final Map<Long, OutstandingClaim> outstanding = new HashMap<>();
    private final Map<ClaimId, Long> grantedCorrelations = new BoundedMap<>();
    private final Map<Long, ClaimId> withdrawnClaims = new BoundedMap<>();
    private boolean closed;

    private ClaimService(
            MemberId self,
            StoreKeys keys,
            PlatformStore store,
            Clock clock,
            Scheduler scheduler,
            UniformRandomProvider random,
            PeerLink link,
            Supplier<List<Member>> members,
            Telemetry telemetry) {
        this.self = self;
        this.keys = keys;
        this.store = store;
        this.clock = clock;
        this.scheduler = scheduler;
        this.random = random;
        this.link = link;
        this.members = members;
        this.telemetry = telemetry;
    }

    /** Creates a service without buckets; {@link #onMembersChanged} assigns them. */
    public static ClaimService create(
            MemberId self,
            StoreKeys keys,
            PlatformStore store,
            Clock clock,
            Scheduler scheduler,
            UniformRandomProvider random,
            PeerLink link,
            Supplier<List<Member>> members,
            Telemetry telemetry) {
        return new ClaimService(self, keys, store, clock, scheduler, random, link, members, telemetry);
    }

    /** Acquires and relinquishes buckets after the members record has changed. */
    public void onMembersChanged() {
        if (closed) {
            return;
        }
        for (int bucket = 0; bucket < BucketAssignment.BUCKET_COUNT; bucket++) {
            boolean isHolder = holderOf(bucket).filter(self::equals).isPresent();
            if (isHolder && !heldBuckets.containsKey(bucket)) {
                ClaimBucket acquired =
                        new ClaimBucket(bucket, self, keys, store, clock, scheduler, telemetry, COMMIT_INTERVAL);
                heldBuckets.put(bucket, acquired);
                acquired.acquire();
            } else if (!isHolder && heldBuckets.containsKey(bucket)) {
                heldBuckets.remove(bucket).relinquish();
            }
        }
    }

    private Optional<MemberId> holderOf(int bucket) {
        return BucketAssignment.holder(bucket, members.get());
    }

    @Override
    public CompletionStage<ClaimResult> claim(
            String queue, String idempotencyKey, Duration claimTime, Duration timeout) {
        ClaimId id = ClaimId.of(queue, idempotencyKey);
        long correlation = random.nextLong();
        OutstandingClaim claim = new OutstandingClaim(id, correlation, claimTime);
        outstanding.put(correlation, claim);
        claim.timer = scheduler.schedule(timeout, () -> onTimeout(claim));
        sendRequest(claim);
        return claim.result;
    }

    private void sendRequest(OutstandingClaim claim) {
        if (closed || !outstanding.containsKey(claim.correlation)) {
            return;
        }
        ClaimRequest request = new ClaimRequest(
                claim.correlation, claim.id.bucket(), claim.id.high(), claim.id.low(), claim.claimTime.toMillis());
        sendToHolder(claim.id, request);
        claim.resend = scheduler.schedule(RESEND_INTERVAL, () -> sendRequest(claim));
    }

    private void sendToHolder(ClaimId id, PeerMessage message) {
        Optional<MemberId> holder = holderOf(id.bucket());
        if (holder.filter(self::equals).isPresent()) {
            scheduler.schedule(Duration.ZERO, () -> receive(self, message));
        } else {
            holder.ifPresent(to -> link.send(to, message));
        }
    }

    private void onTimeout(OutstandingClaim claim) {
        if (outstanding.remove(claim.correlation) == null) {
            return;
        }
        claim.resend.cancel();
        withdraw(claim.id, claim.correlation);
        complete(claim, new Unavailable("the claim was not committed before its timeout"), "timeout");
    }

    private void withdraw(ClaimId id, long correlation) {
        withdrawnClaims.put(correlation, id);
        sendToHolder(id, new ClaimRelease(correlation, id.bucket(), id.high(), id.low()));
    }

    private void complete(OutstandingClaim claim, ClaimResult result, String verdict) {
        telemetry.count(CounterCode.CLAIMS, verdict);
        claim.result.complete(result);
    }

    @Override
    public void release(String queue, String idempotencyKey) {
        ClaimId id = ClaimId.of(queue, idempotencyKey);
        Long correlation = grantedCorrelations.remove(id);
        if (correlation != null) {
            withdraw(id, correlation);
        }
    }

    /** Handles a peer's claim message; returns false when the message belongs to another component. */
    public boolean receive(MemberId from, PeerMessage message) {
        switch (message) {
            case ClaimRequest request -> onRequest(from, request);
            case ClaimReply reply -> onReply(reply);
            case ClaimRelease release -> onRelease(release);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void onRequest(MemberId from, ClaimRequest request) {
        if (closed) {
            return;
        }
        ClaimBucket bucket = heldBuckets.get(request.bucket());
        if (bucket == null) {
            reply(from, new ClaimReply(request.correlation(), ClaimVerdict.NOT_HOLDER));
            return;
        }
        bucket.claim(
                new ClaimId(request.idHigh(), request.idLow()),
                request.correlation(),
                Duration.ofMillis(request.claimTimeMs()),
                verdict -> reply(from, new ClaimReply(request.correlation(), verdict)));
    }

    private void reply(MemberId to, ClaimReply reply) {
        if (closed) {
            return;
        }
        if (to.equals(self)) {
            onReply(reply);
        } else {
            link.send(to, reply);
        }
    }

    private void onRelease(ClaimRelease release) {
        ClaimBucket bucket = heldBuckets.get(release.bucket());
        if (bucket != null) {
            bucket.release(new ClaimId(release.idHigh(), release.idLow()), release.correlation());
        }
    }

    private void onReply(ClaimReply reply) {
        OutstandingClaim claim = outstanding.get(reply.correlation());
        if (claim == null) {
            withdrawLateGrant(reply);
            return;
        }
        if (reply.verdict() == ClaimVerdict.NOT_HOLDER) {
            claim.resend.cancel();
            claim.resend = scheduler.schedule(NOT_HOLDER_RETRY_DELAY, () -> sendRequest(claim));
            return;
        }
        outstanding.remove(reply.correlation());
        claim.timer.cancel();
        claim.resend.cancel();
        switch (reply.verdict()) {
            case GRANTED -> {
                grantedCorrelations.put(claim.id, claim.correlation);
                complete(claim, new Granted(), "granted");
            }
            case DUPLICATE -> complete(claim, new Duplicate(), "duplicate");
            default -> {
                // An earlier copy of the request may still reach another holder and be granted there.
                withdraw(claim.id, claim.correlation);
                complete(
                        claim,
                        new Unavailable("the holder of the claim bucket could not commit the claim"),
                        "unavailable");
            }
        }
    }

    /** Withdraws a grant that arrives after its claim was withdrawn here; the claim of a sent request is kept. */
    private void withdrawLateGrant(ClaimReply reply) {
        ClaimId id = withdrawnClaims.get(reply.correlation());
        if (id != null && reply.verdict() == ClaimVerdict.GRANTED) {
            sendToHolder(id, new ClaimRelease(reply.correlation(), id.bucket(), id.high(), id.low()));
        }
    }

    @Override
    public void close() {
        closed = true;
        heldBuckets.values().forEach(ClaimBucket::relinquish);
        heldBuckets.clear();
    }

    private static final class OutstandingClaim {
        private final ClaimId id;
        private final long correlation;
        private final Duration claimTime;
        private final CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        private Scheduler.Timer timer;
        private Scheduler.Timer resend;

        private OutstandingClaim(ClaimId id, long correlation, Duration claimTime) {
            this.id = id;
            this.correlation = correlation;
            this.claimTime = claimTime;
        }
    }

    /** A map that drops its oldest entries; a claim without an entry is not withdrawn and lasts until it expires. */
    private static final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > MAX_REMEMBERED_CLAIMS;
        }
    }
}
