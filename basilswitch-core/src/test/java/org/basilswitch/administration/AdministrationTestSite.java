package org.basilswitch.administration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.ConfigurationFollower;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.SimulatedTime;

/** An in-memory store and several administration services, each with its own store client and view. */
final class AdministrationTestSite {
    static final Operator ADA = new Operator("ada", OperatorRole.ADMINISTRATOR);

    final SimulatedTime time = SimulatedTime.create();
    final StoreKeys keys = new StoreKeys("test");
    final MemoryStore store = MemoryStore.create(time, time);
    final UniformRandomProvider random;
    final List<Node> nodes = new ArrayList<>();
    final List<EventCode> events = new ArrayList<>();
    private int nextOperation;

    /** An entry host's administration service with its store client and configuration follower. */
    record Node(
            MemoryStoreClient client, ConfigurationFollower follower, AdministrationService administrationService) {}

    private AdministrationTestSite(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    static AdministrationTestSite create(int nodes, long seed) {
        AdministrationTestSite site = new AdministrationTestSite(seed);
        for (int i = 0; i < nodes; i++) {
            site.addNode();
        }
        site.time.runFor(Duration.ofSeconds(1));
        return site;
    }

    private void addNode() {
        MemoryStoreClient client = MemoryStoreClient.create(store, time, random);
        ConfigurationFollower follower = ConfigurationFollower.create(keys, client, time, Telemetry.none());
        follower.start();
        AdministrationService service = AdministrationService.create(
                new AdministrationService.Dependencies(keys, client, follower::current, time, time, telemetry()),
                AdministrationLimits.defaults());
        nodes.add(new Node(client, follower, service));
    }

    private Telemetry telemetry() {
        return new Telemetry() {
            @Override
            public void event(EventCode code, String detail) {
                events.add(code);
            }

            @Override
            public void count(CounterCode counter, String tag) {}
        };
    }

    long count(EventCode code) {
        return events.stream().filter(code::equals).count();
    }

    String newOperationId() {
        return "operation-" + nextOperation++;
    }

    long revision(RecordKey key) {
        return store.get(key.storeKey(keys)).map(entry -> entry.modRevision()).orElse(0L);
    }

    /** Returns the configuration as the store holds it. */
    SiteConfiguration storedConfiguration() {
        return SiteConfiguration.of(
                store.revision(),
                store.range(keys.configuration()).entries().stream()
                        .map(entry -> SiteConfiguration.decode(keys.configuration(), entry)
                                .orElseThrow())
                        .toList());
    }

    /** Runs the simulation until a stage is complete and returns its result. */
    <T> T await(CompletionStage<T> stage) {
        while (!stage.toCompletableFuture().isDone()) {
            time.runNext();
        }
        return stage.toCompletableFuture().join();
    }

    /** Creates or replaces a record through the first node, expecting the record's current revision. */
    ChangeResult put(ConfigurationRecord record) {
        return submit(new Change.Put(record));
    }

    ChangeResult submit(Change change) {
        ChangeResult result = await(nodes.get(0)
                .administrationService()
                .submit(new ChangeRequest(newOperationId(), ADA, change, revision(change.key()))));
        time.runFor(Duration.ofMillis(20));
        return result;
    }

    Optional<ChangeRefusal.Code> refusal(ChangeResult result) {
        return result instanceof ChangeResult.Refused refused
                ? Optional.of(refused.refusal().code())
                : Optional.empty();
    }

    List<AuditRecord> audit() {
        return await(AuditLog.create(keys, nodes.get(0).client(), time).readNewest(1_000_000, 3, Optional.empty()))
                .get();
    }
}
