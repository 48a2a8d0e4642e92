#ifndef BILBERRYLEAD_LINK_UPDATE_ENCODER_HPP
#define BILBERRYLEAD_LINK_UPDATE_ENCODER_HPP

#include "bilberrylead/link/message.hpp"

namespace bilberrylead::link
{

/// Encodes messages for many links; a revision that goes to all of them one
/// after another is packed once. One thread.
///
/// Load it answers: packing a document of two megabytes takes 1.7 ms; done
/// anew for each of hundreds of entry hosts, every change would hold a
/// control host's event loop up for over a second.
class update_encoder
{
public:
    /// As link::encode. The bytes stand until the next call.
    bytes const& encode(message const& content);

private:
    // The update encoded last, and what it was; target 0: none.
    revision kept_target = 0;
    revision kept_base = 0;
    bytes kept;
    bytes other;
};

} // namespace bilberrylead::link

#endif
