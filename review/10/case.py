"""A prompt part that crashes workers, after 69 other parts of a long chat."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import deadly_part_2
import standins_2 as kit


async def case(record, folder, has_trouble, children) -> bool:
    return await deadly_part_2.play(
        record, folder, has_trouble, children, deadly_events=0, parts_before=69
    )


kit.run_case(__file__, case)
