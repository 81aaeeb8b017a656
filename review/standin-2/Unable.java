/** The case could not run, so that it says nothing about the rule. */
final class Unable extends Exception {
    Unable(String reason) {
        super(reason);
    }
}
