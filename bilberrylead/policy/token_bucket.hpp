#ifndef BILBERRYLEAD_POLICY_TOKEN_BUCKET_HPP
#define BILBERRYLEAD_POLICY_TOKEN_BUCKET_HPP

#include "bilberrylead/core/time.hpp"

#include <chrono>

namespace bilberrylead::policy
{

/// Token bucket that refills with time.
///
/// Protects an upstream with cold caches, which crashes under a load that it
/// sustains when warm. Each entry host keeps to its share of the rate, so
/// that the total is within the rate although no host sees the requests of
/// the others.
class token_bucket
{
public:
    /// Creates a full bucket that never holds more than `capacity` tokens.
    explicit token_bucket(double capacity = 1)
        : capacity(capacity), tokens(capacity)
    {
    }

    /// True if at least one token is available.
    bool has_token(double tokens_per_second, instant now) const
    {
        return this->level(tokens_per_second, now) >= 1;
    }

    /// Consumes a token; the level becomes negative if none is available.
    void consume(double tokens_per_second, instant now)
    {
        this->tokens = this->level(tokens_per_second, now) - 1;
        this->updated_at = now;
    }

private:
    double level(double tokens_per_second, instant now) const
    {
        std::chrono::duration<double> const passed = now - this->updated_at;
        double const filled = this->tokens + passed.count() * tokens_per_second;
        return filled < this->capacity ? filled : this->capacity;
    }

    double capacity;
    double tokens;
    instant updated_at{};
};

} // namespace bilberrylead::policy

#endif
