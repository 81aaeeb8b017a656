/** The case could not run. */
final class Unable extends RuntimeException {
    Unable(String reason) {
        super(reason);
    }
}
