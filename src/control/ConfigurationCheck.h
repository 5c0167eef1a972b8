/// \file
/// Complete validation of a submitted configuration, before any part of it
/// takes effect.

#ifndef PSP_CONTROL_CONFIGURATIONCHECK_H
#define PSP_CONTROL_CONFIGURATIONCHECK_H

#include "generated/control.pb.h"

namespace psp::control {

/// Throws UserError(InvalidConfiguration) naming the field when \p Next is
/// not a configuration that may follow \p InForce.
///
/// Schemas are append-only: \p Next must contain every name and version of
/// \p InForce with the same content, so that old records stay readable.
void checkConfiguration(const messages::Configuration &Next,
                        const messages::Configuration &InForce);

/// Throws UserError(BadRequest) when \p Message, or a message inside it,
/// contains a field that is not defined in this version of the program.
void rejectUnknownFields(const google::protobuf::Message &Message);

} // namespace psp::control

#endif
