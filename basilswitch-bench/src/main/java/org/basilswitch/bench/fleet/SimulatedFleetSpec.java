package org.basilswitch.bench.fleet;

import java.time.Duration;

/**
 * Size, timing and faults of a simulated fleet.
 *
 * @param pools number of pools, without the spare pool
 * @param hostsPerPool number of hosts of each pool
 * @param spareHosts number of hosts of the spare pool
 * @param hostsPerRack number of hosts of a rack
 * @param zones number of availability zones
 * @param budgetHosts disruption budget: number of hosts of a pool that may be out of service voluntarily
 * @param rebootTime mean time from a reboot call to a healthy host
 * @param taskTime mean run time of a caller's request
 * @param returnFailureRatio ratio of hosts that do not return from a reboot, from 0 to 1
 * @param members number of entry hosts that compete for the leadership of the pools
 * @param killInterval mean time between kills of a member, each replaced after some seconds; zero for none
 * @param pauseInterval mean time between pauses of a member for longer than its lease; zero for none
 * @param lostAnswerRatio ratio of store calls whose answers are lost after they took effect, from 0 to 1
 * @param inForceDelay time after which a change is in force at every simulated entry host
 * @param operatorInterval time between an operator's attempts to drain a host; zero for none
 */
public record SimulatedFleetSpec(
        int pools,
        int hostsPerPool,
        int spareHosts,
        int hostsPerRack,
        int zones,
        int budgetHosts,
        Duration rebootTime,
        Duration taskTime,
        double returnFailureRatio,
        int members,
        Duration killInterval,
        Duration pauseInterval,
        double lostAnswerRatio,
        Duration inForceDelay,
        Duration operatorInterval) {

    /** Returns a fleet of the size of today's sites, without faults. */
    public static SimulatedFleetSpec ofCurrentScale() {
        return new SimulatedFleetSpec(
                4,
                8,
                8,
                4,
                4,
                2,
                Duration.ofSeconds(120),
                Duration.ofMillis(400),
                0,
                6,
                Duration.ZERO,
                Duration.ZERO,
                0,
                Duration.ofMillis(300),
                Duration.ZERO);
    }

    /** Returns this spec with another ratio of hosts that do not return. */
    public SimulatedFleetSpec withReturnFailures(double ratio) {
        return new SimulatedFleetSpec(
                pools,
                hostsPerPool,
                spareHosts,
                hostsPerRack,
                zones,
                budgetHosts,
                rebootTime,
                taskTime,
                ratio,
                members,
                killInterval,
                pauseInterval,
                lostAnswerRatio,
                inForceDelay,
                operatorInterval);
    }

    /** Returns this spec with other numbers of pools, hosts per pool and budgeted hosts. */
    public SimulatedFleetSpec withSize(int poolCount, int hosts, int budget) {
        return new SimulatedFleetSpec(
                poolCount,
                hosts,
                spareHosts,
                hostsPerRack,
                zones,
                budget,
                rebootTime,
                taskTime,
                returnFailureRatio,
                members,
                killInterval,
                pauseInterval,
                lostAnswerRatio,
                inForceDelay,
                operatorInterval);
    }

    /** Returns this spec without callers' requests and with another number of spare hosts. */
    public SimulatedFleetSpec withoutTasks(int spare) {
        return new SimulatedFleetSpec(
                pools,
                hostsPerPool,
                spare,
                hostsPerRack,
                zones,
                budgetHosts,
                rebootTime,
                Duration.ZERO,
                returnFailureRatio,
                members,
                killInterval,
                pauseInterval,
                lostAnswerRatio,
                inForceDelay,
                operatorInterval);
    }

    /** Returns this spec with another mean run time of the callers' requests. */
    public SimulatedFleetSpec withTaskTime(Duration mean) {
        return new SimulatedFleetSpec(
                pools,
                hostsPerPool,
                spareHosts,
                hostsPerRack,
                zones,
                budgetHosts,
                rebootTime,
                mean,
                returnFailureRatio,
                members,
                killInterval,
                pauseInterval,
                lostAnswerRatio,
                inForceDelay,
                operatorInterval);
    }

    /** Returns this spec with members killed and paused at mean intervals and with lost store answers. */
    public SimulatedFleetSpec withFaults(Duration killEvery, Duration pauseEvery, double lostAnswers) {
        return new SimulatedFleetSpec(
                pools,
                hostsPerPool,
                spareHosts,
                hostsPerRack,
                zones,
                budgetHosts,
                rebootTime,
                taskTime,
                returnFailureRatio,
                members,
                killEvery,
                pauseEvery,
                lostAnswers,
                inForceDelay,
                operatorInterval);
    }

    /** Returns this spec with an operator who drains random hosts and returns them to service. */
    public SimulatedFleetSpec withOperator(Duration interval) {
        return new SimulatedFleetSpec(
                pools,
                hostsPerPool,
                spareHosts,
                hostsPerRack,
                zones,
                budgetHosts,
                rebootTime,
                taskTime,
                returnFailureRatio,
                members,
                killInterval,
                pauseInterval,
                lostAnswerRatio,
                inForceDelay,
                interval);
    }

    /** Returns this spec with another time until a change is in force. */
    public SimulatedFleetSpec withInForceDelay(Duration delay) {
        return new SimulatedFleetSpec(
                pools,
                hostsPerPool,
                spareHosts,
                hostsPerRack,
                zones,
                budgetHosts,
                rebootTime,
                taskTime,
                returnFailureRatio,
                members,
                killInterval,
                pauseInterval,
                lostAnswerRatio,
                delay,
                operatorInterval);
    }
}
