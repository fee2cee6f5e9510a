package org.basilswitch.bench.fleet;

import java.time.Duration;

/**
 * Shape and faults of a simulated fleet.
 *
 * @param pools pools beside the spare pool
 * @param hostsPerPool hosts of each pool
 * @param spareHosts hosts of the spare pool
 * @param hostsPerRack hosts to a rack
 * @param zones availability zones
 * @param budgetHosts hosts of a pool that may be out of service by choice
 * @param rebootTime mean time from a reboot call to a healthy host
 * @param taskTime mean run time of a caller's request
 * @param returnFailureRatio part of reboots after which the host does not return, from 0 to 1
 * @param members entry hosts that compete for the controllers' duties
 * @param killInterval mean time between kills of a member, each replaced after some seconds; zero for none
 * @param pauseInterval mean time between pauses of a member for longer than its lease; zero for none
 * @param lostAnswerRatio part of store calls whose answers are lost after they took effect
 * @param inForceDelay time after which a change is in force at every simulated entry host
 * @param operatorInterval time between an operator's tries to drain a host; zero for none
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

    /** The brief's size, without faults. */
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

    /** The same spec with another part of hosts that do not return. */
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

    /** The same spec with other numbers of pools and hosts. */
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

    /** The same spec without callers' requests and with another number of spare hosts. */
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

    /** The same spec with another mean run time of the callers' requests. */
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

    /** The same spec with members killed and paused and store answers lost. */
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

    /** The same spec with an operator who drains hosts at random, and puts them back after some seconds. */
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

    /** The same spec with another time until a change is in force. */
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
