#ifndef BILBERRYLEAD_LOAD_PIPELINED_COUNTS_HPP
#define BILBERRYLEAD_LOAD_PIPELINED_COUNTS_HPP

#include <cstdint>

namespace bilberrylead::load
{

/// What a run sent over pipelined connections.
struct pipelined_counts
{
    /// Requests sent while an earlier one was unanswered.
    std::uint64_t sent_ahead = 0;
    /// Connections on which bytes arrived that no request was waiting for.
    std::uint64_t surplus_answers = 0;
};

} // namespace bilberrylead::load

#endif
