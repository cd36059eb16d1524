#include "soak/promises.h"

namespace dragonflymill::soak {

void promises::ran(const std::string& request, bool repeatable)
{
    if (!repeatable && ++runs_[request] > 1) {
        broken("a booking was executed twice: " + request);
    }
}

void promises::reached_leaving(const std::string& request, moment left, std::chrono::milliseconds bound)
{
    const auto late = std::chrono::steady_clock::now() - left;
    if (late > bound) {
        broken("a request reached a draining upstream after the limit: " + request + " after " +
               std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(late).count()) + " ms");
    }
}

void promises::told_not_run(const std::string& request, bool repeatable)
{
    if (!repeatable) {
        told_not_run_.insert(request);
    }
}

void promises::answered(const std::string& request, const std::string& bytes, const std::string& expected)
{
    ++answers_;
    if (bytes != expected) {
        broken("a complete response does not match its request: " + request + ": " + bytes);
    }
}

void promises::part(const std::string& request, const std::string& bytes, const std::string& expected)
{
    if (!expected.starts_with(bytes)) {
        broken("a partial response has a gap or a duplicate: " + request + ": " + bytes);
    }
}

void promises::close()
{
    for (const std::string& request : told_not_run_) {
        if (runs_.contains(request)) {
            broken("reported as not executed, but was executed: " + request);
        }
    }
}

} // namespace dragonflymill::soak
