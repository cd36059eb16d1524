#pragma once

#include <cstddef>
#include <memory>

namespace dragonflymill::http {

/// Limits the total size of the bodies of all requests in flight. Used only on the server's thread.
///
/// Prevents the process from being killed for its memory use when many clients at once send bodies that are
/// each within the limit of a single body. The bytes of a body are claimed before the body is read and
/// released when the request ends; a request whose claim fails is rejected.
class body_budget
{
public:
    /// Creates a budget of `size` bytes in total.
    explicit body_budget(std::size_t size)
        : size_(size)
    {
    }

    /// Reserves bytes. Returns false if the budget has too few left.
    [[nodiscard]] auto take(std::size_t bytes) -> bool
    {
        if (bytes > size_ - taken_) {
            return false;
        }
        taken_ += bytes;
        return true;
    }
    /// Returns bytes to the budget.
    void give_back(std::size_t bytes) { taken_ -= bytes; }

private:
    std::size_t size_;
    std::size_t taken_ = 0;
};

/// Bytes claimed by one request; released on destruction.
class body_claim
{
public:
    /// Claims from `budget`; if it is null, every claim succeeds.
    explicit body_claim(std::shared_ptr<body_budget> budget)
        : budget_(std::move(budget))
    {
    }
    ~body_claim() { release(); }
    body_claim(const body_claim&) = delete;
    auto operator=(const body_claim&) -> body_claim& = delete;

    /// Claims bytes. Returns false if the budget has too few left.
    [[nodiscard]] auto claim(std::size_t bytes) -> bool
    {
        if (budget_ && !budget_->take(bytes)) {
            return false;
        }
        held_ += bytes;
        return true;
    }
    /// Reduces the claim to `bytes`; has no effect if it is smaller.
    void shrink(std::size_t bytes)
    {
        if (budget_ && bytes < held_) {
            budget_->give_back(held_ - bytes);
            held_ = bytes;
        }
    }
    /// Releases the whole claim.
    void release() { shrink(0); }

private:
    std::shared_ptr<body_budget> budget_;
    std::size_t held_ = 0;
};

} // namespace dragonflymill::http
