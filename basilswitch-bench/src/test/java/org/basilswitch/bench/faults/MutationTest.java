package org.basilswitch.bench.faults;

import javax.tools.JavaCompiler;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;

import java.io.File;
import java.io.IOException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Mutation testing of the fault run. The test checks that each mutation still applies to the core's sources;
 * {@link #main} compiles each mutated core separately and runs seeds until a guarantee is violated.
 */
public final class MutationTest {
    private static final Path SOURCES = Path.of("..", "basilswitch-core", "src", "main", "java");

    /** Provides the mutations. */
    @DataProvider
    public Object[][] mutations() {
        return Mutation.ALL.stream().map(mutation -> new Object[] {mutation}).toArray(Object[][]::new);
    }

    /** The text that a mutation replaces occurs exactly once in its file, so that each mutation still applies. */
    @Test(dataProvider = "mutations")
    public void replacedTextOccursOnce(Object argument) throws IOException {
        Mutation mutation = (Mutation) argument;
        String text = Files.readString(SOURCES.resolve("org/basilswitch").resolve(mutation.file()));
        int first = text.indexOf(mutation.from());
        Assert.assertTrue(first >= 0, mutation.name() + ": replaced text not found");
        Assert.assertEquals(
                text.indexOf(mutation.from(), first + 1), -1, mutation.name() + ": replaced text found twice");
    }

    /**
     * Prints for each mutation the seed and violation that detected it.
     *
     * @param arguments number of seeds and of virtual minutes, then parts of the names of the mutations to run;
     *     all mutations run when no name is given
     */
    public static void main(String[] arguments) throws Exception {
        int seeds = Integer.parseInt(arguments[0]);
        int minutes = Integer.parseInt(arguments[1]);
        List<String> names = Arrays.asList(arguments).subList(2, arguments.length);
        for (Mutation mutation : Mutation.ALL) {
            if (names.isEmpty() || names.stream().anyMatch(mutation.name()::contains)) {
                String detection = run(mutation, seeds, minutes);
                System.out.printf(
                        "%-75s %-28s %s%n",
                        mutation.name(),
                        mutation.guarantee(),
                        detection.isEmpty() ? "NOT DETECTED, seeds run: " + seeds : detection);
            }
        }
    }

    private static String run(Mutation mutation, int seeds, int minutes) throws Exception {
        Path sources = Files.createTempDirectory("mutation-src");
        Path classes = Files.createTempDirectory("mutation-classes");
        copy(mutation, sources);
        compile(sources, classes);
        List<URL> path = new ArrayList<>();
        path.add(classes.toUri().toURL());
        for (String entry : System.getProperty("java.class.path").split(File.pathSeparator)) {
            path.add(Path.of(entry).toUri().toURL());
        }
        ClassLoader platform = ClassLoader.getPlatformClassLoader();
        try (URLClassLoader loader = new URLClassLoader(path.toArray(URL[]::new), platform)) {
            return (String) loader.loadClass(FaultSeeds.class.getName())
                    .getMethod("findFirstViolation", long.class, int.class, int.class)
                    .invoke(null, 1L, seeds, minutes);
        }
    }

    private static void copy(Mutation mutation, Path target) throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                String name = SOURCES.relativize(file).toString();
                String text = Files.readString(file);
                boolean mutated = name.equals("org/basilswitch/" + mutation.file());
                Path copy = target.resolve(name);
                Files.createDirectories(copy.getParent());
                Files.writeString(copy, mutated ? text.replace(mutation.from(), mutation.to()) : text);
            }
        }
    }

    private static void compile(Path sources, Path classes) throws IOException {
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        try (StandardJavaFileManager files = compiler.getStandardFileManager(null, null, null);
                Stream<Path> all = Files.walk(sources)) {
            List<Path> java =
                    all.filter(file -> file.toString().endsWith(".java")).toList();
            List<String> options = List.of("-nowarn", "-proc:none", "-d", classes.toString());
            boolean compiled = compiler.getTask(
                            null, files, null, options, null, files.getJavaFileObjectsFromPaths(java))
                    .call();
            if (!compiled) {
                throw new IllegalStateException("mutated core does not compile");
            }
        }
    }
}
