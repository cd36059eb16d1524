#pragma once

#include <boost/outcome/result.hpp>
#include <compare>
#include <string>
#include <utility>

namespace dragonflymill {

/// Kinds of failure that cross a module edge.
enum class error_kind
{
    invalid_input, ///< What was given breaks a rule; giving it again can't help.
    not_found,     ///< The thing named does not exist.
    conflict,      ///< It clashes with what is already there.
    unauthorized,  ///< Who asks is not known or not allowed.
    limit_reached, ///< A stated bound is full; later may work.
    unavailable,   ///< The other side can't be reached or is not ready.
    timed_out,     ///< The time limit ran out.
    corrupt,       ///< Data does not match its digest or signature, or can't be decoded.
    internal,      ///< A fault of ours.
};

/// Name of an error kind, as it stands in logs and answers.
[[nodiscard]] auto to_string(error_kind kind) -> const char*;

/// A failure, with what to do about it.
class error
{
public:
    /// `message` says what is wrong; `remedy` what the reader can do.
    error(error_kind kind, std::string message, std::string remedy)
        : kind_(kind)
        , message_(std::move(message))
        , remedy_(std::move(remedy))
    {
    }

    /// The kind, for code that reacts to it.
    [[nodiscard]] auto kind() const -> error_kind { return kind_; }
    /// What is wrong.
    [[nodiscard]] auto message() const -> const std::string& { return message_; }
    /// What to do about it.
    [[nodiscard]] auto remedy() const -> const std::string& { return remedy_; }
    /// Kind, message and remedy in one line.
    [[nodiscard]] auto text() const -> std::string;

    friend auto operator==(const error&, const error&) -> bool = default;

private:
    error_kind kind_;
    std::string message_;
    std::string remedy_;
};

/// A value or an error; reading the one that is not there ends the program (no exception crosses modules).
template <typename T>
using result = boost::outcome_v2::result<T, error, boost::outcome_v2::policy::terminate>;

/// The value of a result that has nothing to say but that it went well.
[[nodiscard]] inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace dragonflymill
