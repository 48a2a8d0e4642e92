#ifndef BILBERRYLEAD_ONCE_RECORDED_ANSWER_HPP
#define BILBERRYLEAD_ONCE_RECORDED_ANSWER_HPP

#include "bilberrylead/core/bytes.hpp"

#include <cstdint>
#include <string>

namespace bilberrylead::once
{

/// An upstream's answer, recorded so that a repeat of the request receives it
/// without a second run.
struct recorded_answer
{
    /// HTTP status, 200 to 599.
    std::uint16_t status = 0;
    /// Content-Type of the body, empty if the upstream sent none.
    std::string content_type;
    /// The body; at most `once_settings::max_answer_body_bytes` bytes.
    bytes body;
    /// True if only the status is recorded: the answer was larger than the
    /// limits, or the total size of the recorded answers was reached.
    bool body_dropped = false;

    friend bool operator==(recorded_answer const&,
                           recorded_answer const&) = default;
};

} // namespace bilberrylead::once

#endif
