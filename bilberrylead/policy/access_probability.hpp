#ifndef BILBERRYLEAD_POLICY_ACCESS_PROBABILITY_HPP
#define BILBERRYLEAD_POLICY_ACCESS_PROBABILITY_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/access_probability_settings.hpp"
#include "bilberrylead/policy/report_state.hpp"

namespace bilberrylead::policy
{

/// Probability with which a host may use a resource that many hosts share, as
/// in p-persistent channel access.
///
/// Protects a rate limit over all hosts while hosts do not know of each
/// other's requests. Each host lets only this part of its requests compete for
/// the shared tokens, so that all hosts together offer little more than the
/// limit, wherever callers arrive and whichever reports are lost. The
/// probability follows from the demand, which is estimated from the requests
/// that were sent and the time during which tokens were available.
class access_probability
{
public:
    /// Creates a probability of 1.
    explicit access_probability(access_probability_settings const& settings);

    /// Begins with an estimate of the demand.
    ///
    /// @param rate requests a second that all hosts together may send
    /// @param demand requests a second that all hosts together would send
    void restart(double rate, double demand);

    /// Counts requests that this host or another one has sent.
    void record_sent(double count);

    /// Advances the estimate.
    ///
    /// @param elapsed time since the last call
    /// @param available part of it during which a token was available
    /// @param rate requests a second that all hosts together may send
    /// @param reports unless they are timely, the probability grows slowly
    void advance(duration elapsed, duration available, double rate,
                 report_state reports);

    /// The probability, from 0 to 1.
    double value(report_state reports) const;

private:
    access_probability_settings settings;
    // Probability at which the hosts would offer exactly the limit.
    double base = 1;
    // Averages over `memory`, as sums.
    double sent = 0;
    // Seconds during which tokens were available, each weighted with the
    // probability in force.
    double exposure = 0;
};

} // namespace bilberrylead::policy

#endif
