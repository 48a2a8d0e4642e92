#include "bilberrylead/http/upstream_connection.hpp"

#include <sys/socket.h>

#include <cerrno>

namespace bilberrylead::http
{

bool upstream_connection::spoiled()
{
    if (this->buffer.size() > 0 || !this->socket.is_open())
    {
        return true;
    }
    char byte = 0;
    ssize_t const count =
        ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // An open and silent connection has nothing to read.
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace bilberrylead::http
