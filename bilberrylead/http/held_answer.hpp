#ifndef BILBERRYLEAD_HTTP_HELD_ANSWER_HPP
#define BILBERRYLEAD_HTTP_HELD_ANSWER_HPP

#include <cstddef>
#include <vector>

namespace bilberrylead::http
{

/// The body of an upstream's answer, as far as it has been read before the
/// turn of its request.
struct held_answer
{
    /// How far the reading has come.
    enum class progress
    {
        /// Not read ahead: its request was first and alone.
        none,
        /// It is being read.
        reading,
        /// Nothing more is read ahead; the rest, if any, is still with the
        /// upstream exchange.
        complete,
        /// The upstream broke it off.
        broken,
    };

    /// How far it has come.
    progress state = progress::none;
    /// Room for the bytes; only the first `size` of them are read.
    std::vector<char> bytes;
    /// Bytes that have been read.
    std::size_t size = 0;
    /// True if that is the whole body.
    bool whole = false;
};

} // namespace bilberrylead::http

#endif
