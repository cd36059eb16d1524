#pragma once

#include <boost/outcome/result.hpp>
#include <compare>
#include <string>
#include <utility>

namespace dragonflymill {

/// Categories of errors that modules return to each other.
enum class error_kind
{
    invalid_input, ///< The input violates a rule; a retry can't succeed.
    not_found,     ///< The named item does not exist.
    conflict,      ///< The input conflicts with existing state.
    unauthorized,  ///< The client is unknown or lacks permission.
    limit_reached, ///< A limit is reached; a later retry may succeed.
    unavailable,   ///< The peer is unreachable or not ready.
    timed_out,     ///< The deadline passed.
    corrupt,       ///< Data does not match its digest or signature, or can't be decoded.
    internal,      ///< A bug in this software.
};

/// Name of an error kind as used in logs and responses.
[[nodiscard]] auto to_string(error_kind kind) -> const char*;

/// An error with a description and a remedy.
class error
{
public:
    /// `message` describes the error; `remedy` states how to resolve it.
    error(error_kind kind, std::string message, std::string remedy)
        : kind_(kind)
        , message_(std::move(message))
        , remedy_(std::move(remedy))
    {
    }

    /// Category, for code that handles the error.
    [[nodiscard]] auto kind() const -> error_kind { return kind_; }
    /// Description of the error.
    [[nodiscard]] auto message() const -> const std::string& { return message_; }
    /// How to resolve the error.
    [[nodiscard]] auto remedy() const -> const std::string& { return remedy_; }
    /// Kind, message and remedy on one line.
    [[nodiscard]] auto text() const -> std::string;

    friend auto operator==(const error&, const error&) -> bool = default;

private:
    error_kind kind_;
    std::string message_;
    std::string remedy_;
};

/// A value or an error. Accessing the alternative that is not present terminates the process; no exceptions
/// cross module boundaries.
template <typename T>
using result = boost::outcome_v2::result<T, error, boost::outcome_v2::policy::terminate>;

/// Return value of a `result<void>` function that succeeded.
[[nodiscard]] inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace dragonflymill
