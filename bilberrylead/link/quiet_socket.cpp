#include "bilberrylead/link/quiet_socket.hpp"

#include <sys/socket.h>
#include <sys/types.h>

#include <cerrno>

namespace bilberrylead::link
{

bool is_quiet(int socket)
{
    char byte = 0;
    ssize_t const count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace bilberrylead::link
