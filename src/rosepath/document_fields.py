"""Field types of documents that other programs write."""

from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, StrictInt, StrictStr
from pydantic.alias_generators import to_camel

from rosepath.document_parsing import validate_address, validate_text
from rosepath.json_decoding import MAX_INTEGER

# An hour, longer than any request runs.
MAX_DURATION_MS = 3_600_000.0
# Megabytes, rates and times beyond it are no figures of a deployment.
MAX_AMOUNT = 1e12

Text = Annotated[str, AfterValidator(validate_text)]
StrictText = Annotated[StrictStr, AfterValidator(validate_text)]
Address = Annotated[StrictStr, AfterValidator(validate_address)]
Integer = Annotated[int, Field(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[StrictInt, Field(ge=0, le=MAX_INTEGER)]
Amount = Annotated[float, Field(ge=0, le=MAX_AMOUNT)]
DurationMs = Annotated[float, Field(ge=0, le=MAX_DURATION_MS)]


class Document(BaseModel):
    """Ignore unknown fields; reject infinite numbers and NaN."""

    model_config = ConfigDict(
        extra="ignore",
        frozen=True,
        alias_generator=to_camel,
        allow_inf_nan=False,
    )
