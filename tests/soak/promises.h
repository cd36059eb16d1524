#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonflymill::soak {

using moment = std::chrono::steady_clock::time_point;

/// What callers and upstreams saw, held against what was promised. Every breach is kept with its words.
class promises
{
public:
    /// An upstream begins to run a call; `repeatable` if it may run more than once.
    void ran(const std::string& request, bool repeatable);
    /// A request reached an upstream that left at `left` and takes work until `bound` after it.
    void reached_leaving(const std::string& request, moment left, std::chrono::milliseconds bound);
    /// A caller was told that its call was not run.
    void told_not_run(const std::string& request, bool repeatable);
    /// A caller got a whole answer with these bytes; `expected` is what an upstream sends for this request.
    void answered(const std::string& request, const std::string& bytes, const std::string& expected);
    /// A caller got a part of a stream.
    void part(const std::string& request, const std::string& bytes, const std::string& expected);
    /// Something else that was promised does not hold.
    void broken(const std::string& what) { breaches_.push_back(what); }

    /// What is checked when all is over.
    void close();
    /// All breaches.
    [[nodiscard]] auto breaches() const -> const std::vector<std::string>& { return breaches_; }
    /// Whole answers so far.
    [[nodiscard]] auto answers() const -> int { return answers_; }

private:
    std::map<std::string, int> runs_;
    std::set<std::string> told_not_run_;
    std::vector<std::string> breaches_;
    int answers_ = 0;
};

} // namespace dragonflymill::soak
