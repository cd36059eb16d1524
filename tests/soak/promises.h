#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflymill::soak {

using moment = std::chrono::steady_clock::time_point;

/// Checks what callers and upstreams observe against the delivery guarantees, and records every violation.
class promises
{
public:
    /// Records that an upstream starts to execute a call; `repeatable` if it may be executed more than once.
    void ran(const std::string& request, bool repeatable);
    /// Records a request to an upstream that has been draining since `left`; a violation more than `bound`
    /// later.
    void reached_leaving(const std::string& request, moment left, std::chrono::milliseconds bound);
    /// Records a response that states that the call was not executed.
    void told_not_run(const std::string& request, bool repeatable);
    /// Compares a complete response with `expected`, which an upstream sends for this request.
    void answered(const std::string& request, const std::string& bytes, const std::string& expected);
    /// Checks that the received part of a stream is a prefix of `expected`.
    void part(const std::string& request, const std::string& bytes, const std::string& expected);
    /// Records a violation of any other guarantee.
    void broken(const std::string& what) { breaches_.push_back(what); }

    /// Checks at the end of the run that no call reported as not executed was executed.
    void close();
    /// Messages of all violations, in the order in which they were found.
    [[nodiscard]] auto breaches() const -> const std::vector<std::string>& { return breaches_; }
    /// Number of complete responses so far.
    [[nodiscard]] auto answers() const -> int { return answers_; }

private:
    std::map<std::string, int> runs_;
    std::set<std::string> told_not_run_;
    std::vector<std::string> breaches_;
    int answers_ = 0;
};

} // namespace dragonflymill::soak
