/*
 * The errors that prevent a router from starting.
 */
package org.primrosesill.router

/**
 * A startup error.
 *
 * @property type stable identifier of the kind of error
 * @property detail the affected setting or file, and the problem
 */
public sealed class RouterStartError(public val type: String, public val detail: String) {
    override fun toString(): String = "$type: $detail"

    /** A setting has an invalid value. */
    public class InvalidSetting(setting: String, problem: String) :
        RouterStartError("invalid-setting", "$setting: $problem")

    /** The address of a listener is in use, or is not an address of this VM. */
    public class AddressNotUsable(setting: String, address: String, problem: String) :
        RouterStartError("address-not-usable", "$setting: cannot listen on $address: $problem")

    /** The event log file cannot be opened for writing. */
    public class FileNotUsable(file: String, problem: String) :
        RouterStartError("file-not-usable", "$file: $problem")
}
