package third;

import java.nio.file.Path;

/** Runs a case of the review: {@code third.Case NAME RECORD TROUBLE}; exits with 0, 1 or 2 as issue 48 says. */
public final class Case {
    /** A case; returns whether the rule was broken. */
    interface Play {
        boolean isBroken(Site site, boolean trouble) throws Exception;
    }

    private Case() {}

    public static void main(String[] arguments) throws Exception {
        Play play = switch (arguments[0]) {
            case "withdrawn-key" -> new WithdrawnKeyAfterLostAnswer();
            case "failures" -> new FailuresClosePool();
            case "advice" -> new AdviceNeverInTime();
            case "allowed" -> new AdviceOnOthers();
            case "cap" -> new CapBelowWorkItem();
            default -> throw new IllegalArgumentException(arguments[0]);
        };
        boolean trouble = !arguments[2].equals("0");
        int status;
        try (Record record = Record.open(Path.of(arguments[1]))) {
            Site[] open = new Site[1];
            Runtime.getRuntime().addShutdownHook(new Thread(() -> closeQuietly(open[0])));
            try (Site site = new Site(record)) {
                open[0] = site;
                record.add("case", arguments[0] + (trouble ? "" : " without the disruption"));
                boolean broken = play.isBroken(site, trouble);
                record.add("case", broken ? "the rule was broken" : "the rule held");
                status = broken ? 1 : 0;
            } catch (Exception e) {
                record.add("case", "could not run: " + e);
                e.printStackTrace();
                status = 2;
            }
            open[0] = null;
        }
        Runtime.getRuntime().halt(status);
    }

    private static void closeQuietly(Site site) {
        if (site != null) {
            try {
                site.close();
            } catch (Exception e) {
                // The processes were ended before the folder is deleted.
            }
        }
    }
}
