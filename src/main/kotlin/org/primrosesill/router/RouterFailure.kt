/*
 * Why a router cannot start.
 */
package org.primrosesill.router

/**
 * A typed failure of the start.
 *
 * @property type stable name of the kind of failure
 * @property detail what failed and where
 */
public sealed class RouterFailure(public val type: String, public val detail: String) {
    override fun toString(): String = "$type: $detail"

    /** A setting does not hold what it must. */
    public class InvalidSetting(setting: String, problem: String) :
        RouterFailure("invalid-setting", "$setting: $problem")

    /** A listener's address is taken, or this VM does not have it. */
    public class AddressNotUsable(setting: String, address: String, problem: String) :
        RouterFailure("address-not-usable", "$setting: cannot listen on $address: $problem")

    /** The file for event lines cannot be written. */
    public class FileNotUsable(file: String, problem: String) :
        RouterFailure("file-not-usable", "$file: $problem")
}
