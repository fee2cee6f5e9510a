package org.basilswitch.daemon.telemetry;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;

import com.sun.management.OperatingSystemMXBean;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

/** Meters of the process's CPU time and live heap. */
public final class ProcessMeters {
    private static final double NANOS_PER_SECOND = 1e9;

    private ProcessMeters() {}

    /** Registers both meters. */
    public static void register(MeterRegistry registry) {
        OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        FunctionCounter.builder(
                        DaemonMeter.PROCESS_CPU.metric(), system, bean -> bean.getProcessCpuTime() / NANOS_PER_SECOND)
                .register(registry);
        Gauge.builder(DaemonMeter.LIVE_HEAP.metric(), ProcessMeters::liveHeapBytes)
                .strongReference(true)
                .register(registry);
    }

    /** Returns the heap in use after the last garbage collection of each heap pool, in bytes. */
    public static long liveHeapBytes() {
        long bytes = 0;
        for (MemoryPoolMXBean pool : ManagementFactory.getMemoryPoolMXBeans()) {
            MemoryUsage usage = pool.getCollectionUsage();
            if (pool.getType() == MemoryType.HEAP && usage != null) {
                bytes += usage.getUsed();
            }
        }
        return bytes;
    }
}
